package io.damaskyoke.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.damaskyoke.id.VmId;
import io.netty.util.NetUtil;
import java.math.BigDecimal;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The type of a key's value; each knows how to read one. */
enum Kind {
    TEXT("text", "a non-empty text") {
        @Override
        Optional<Object> read(JsonNode node) {
            return text(node).map(text -> text);
        }
    },
    ID("name", "a name of up to 200 characters of A-Z a-z 0-9 . _ : / -") {
        @Override
        Optional<Object> read(JsonNode node) {
            return text(node).filter(Kind::isId).map(text -> text);
        }
    },
    CHOICE("choice", "a word") {
        @Override
        Optional<Object> read(JsonNode node) {
            return text(node).map(text -> text);
        }
    },
    IP("IP number", "an IP number such as \"10.0.0.7\"") {
        @Override
        Optional<Object> read(JsonNode node) {
            return text(node).filter(Kind::isIpNumber).map(text -> text);
        }
    },
    URL("URL", "a URL such as \"http://10.0.0.7:2379\", without user and password") {
        @Override
        Optional<Object> read(JsonNode node) {
            return text(node).flatMap(Kind::url).map(url -> url);
        }
    },
    URLS("list of URLs", "a list of one or more URLs such as [\"http://10.0.0.7:2379\"]") {
        @Override
        Optional<Object> read(JsonNode node) {
            List<URI> urls = new ArrayList<>();
            node.forEach(each -> text(each).flatMap(Kind::url).ifPresent(urls::add));
            boolean good = node.isArray() && !urls.isEmpty() && urls.size() == node.size();
            return good ? Optional.of(List.copyOf(urls)) : Optional.empty();
        }
    },
    TABLE("table of texts", "a table of texts such as { a = \"north\", b = \"south\" }") {
        @Override
        Optional<Object> read(JsonNode node) {
            Map<String, String> texts = new HashMap<>();
            node.properties().forEach(each -> put(texts, each));
            boolean good = node.isObject() && texts.size() == node.size();
            return good ? Optional.of(Map.copyOf(texts)) : Optional.empty();
        }
    },
    DURATION("duration", "a duration such as \"500ms\", \"20s\" or \"2m\"") {
        @Override
        Optional<Object> read(JsonNode node) {
            return text(node).flatMap(Kind::duration);
        }
    },
    SIZE("size", "a size in bytes or such as \"64KiB\" or \"1MiB\"") {
        @Override
        Optional<Object> read(JsonNode node) {
            return node.isTextual() ? size(node.textValue()) : wholeNumber(node);
        }
    },
    INTEGER("integer", "an integer") {
        @Override
        Optional<Object> read(JsonNode node) {
            return wholeNumber(node);
        }
    },
    NUMBER("number", "a number") {
        @Override
        Optional<Object> read(JsonNode node) {
            boolean finite = node.isNumber() && Double.isFinite(node.doubleValue());
            return finite ? Optional.of(node.doubleValue()) : Optional.empty();
        }
    };

    private static final Pattern AMOUNT = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,6})?)([A-Za-z]+)");
    private static final Map<String, Duration> TIME_UNITS =
            Map.of(
                    "ms", Duration.ofMillis(1),
                    "s", Duration.ofSeconds(1),
                    "m", Duration.ofMinutes(1),
                    "h", Duration.ofHours(1));
    private static final Map<String, Long> SIZE_UNITS =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    private final String label;
    private final String allowed;

    Kind(String label, String allowed) {
        this.label = label;
        this.allowed = allowed;
    }

    /** The value, or nothing if the node has the wrong type or form. */
    abstract Optional<Object> read(JsonNode node);

    /** The value of a default or bound, as the table of keys writes it. */
    Object parse(String text) {
        return switch (this) {
            case INTEGER -> Long.valueOf(text);
            case NUMBER -> Double.valueOf(text);
            default -> read(TextNode.valueOf(text)).orElseThrow();
        };
    }

    /** The type in a word or two, for the page. */
    String label() {
        return label;
    }

    /** What may stand in the file, without bounds. */
    String allowed() {
        return allowed;
    }

    /** Whether a value stands in quotes in a file. */
    boolean quoted() {
        return this != INTEGER && this != NUMBER && this != TABLE;
    }

    private static Optional<String> text(JsonNode node) {
        return Optional.ofNullable(node.textValue()).filter(text -> !text.isBlank());
    }

    private static void put(Map<String, String> texts, Map.Entry<String, JsonNode> entry) {
        text(entry.getValue()).ifPresent(text -> texts.put(entry.getKey(), text));
    }

    private static boolean isId(String text) {
        try {
            VmId.of(text);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static boolean isIpNumber(String text) {
        return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
    }

    private static Optional<URI> url(String text) {
        try {
            URI url = new URI(text);
            boolean web = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
            boolean good = web && url.getHost() != null && url.getRawUserInfo() == null;
            return good ? Optional.of(url) : Optional.empty();
        } catch (URISyntaxException e) {
            return Optional.empty();
        }
    }

    private static Optional<Object> duration(String text) {
        Matcher amount = AMOUNT.matcher(text);
        if (!amount.matches() || !TIME_UNITS.containsKey(amount.group(2))) {
            return Optional.empty();
        }
        Duration unit = TIME_UNITS.get(amount.group(2));
        BigDecimal nanos = new BigDecimal(amount.group(1)).multiply(nanosOf(unit));
        return Optional.of(Duration.ofNanos(nanos.longValue()));
    }

    private static BigDecimal nanosOf(Duration unit) {
        return BigDecimal.valueOf(unit.toNanos());
    }

    private static Optional<Object> size(String text) {
        Matcher amount = AMOUNT.matcher(text);
        boolean whole = amount.matches() && !amount.group(1).contains(".");
        if (!whole || !SIZE_UNITS.containsKey(amount.group(2))) {
            return Optional.empty();
        }
        long unit = SIZE_UNITS.get(amount.group(2));
        long number = Long.parseLong(amount.group(1));
        return number > Long.MAX_VALUE / unit ? Optional.empty() : Optional.of(number * unit);
    }

    private static Optional<Object> wholeNumber(JsonNode node) {
        boolean good = node.isIntegralNumber() && node.canConvertToLong();
        return good ? Optional.of(node.longValue()) : Optional.empty();
    }
}
