package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A request of the OpenAI API for a completion, and the JSON of its answer. */
final class Completion {
    private final boolean chat;
    private final String id;
    private final long created;
    private final String model;
    private final boolean stream;
    private final List<String> tokens;
    private final int promptTokens;
    private final boolean cutShort;

    private Completion(boolean chat, String id, long created, JsonNode request) {
        this.chat = chat;
        this.id = id;
        this.created = created;
        model = Json.text(request, "model");
        stream = request.path("stream").asBoolean(false);
        List<String> words = words(chat ? lastUserMessage(request) : prompt(request));
        int limit = request.path("max_tokens").asInt(Integer.MAX_VALUE);
        cutShort = words.size() > limit;
        tokens = cutShort ? words.subList(0, Math.max(0, limit)) : words;
        promptTokens = chat ? countMessages(request) : words.size();
    }

    static Completion parse(boolean chat, long number, long created, JsonNode request) {
        String prefix = chat ? "chatcmpl-" : "cmpl-";
        return new Completion(chat, prefix + number, created, request);
    }

    String model() {
        return model;
    }

    boolean stream() {
        return stream;
    }

    /** The words of the answer; each but the first starts with its space. */
    List<String> tokens() {
        return tokens;
    }

    ObjectNode whole() {
        ObjectNode answer = answer(chat ? "chat.completion" : "text_completion");
        ObjectNode choice = choice(answer, reason());
        String text = String.join("", tokens);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        answer.set("usage", usage());
        return answer;
    }

    ObjectNode chunk(String token) {
        ObjectNode answer = answer(chat ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = choice(answer, null);
        if (chat) {
            choice.putObject("delta").put("role", "assistant").put("content", token);
        } else {
            choice.put("text", token);
        }
        return answer;
    }

    ObjectNode lastChunk() {
        ObjectNode answer = answer(chat ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = choice(answer, reason());
        if (chat) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        answer.set("usage", usage());
        return answer;
    }

    private String reason() {
        return cutShort ? "length" : "stop";
    }

    private ObjectNode answer(String object) {
        ObjectNode answer = Json.object();
        answer.put("id", id);
        answer.put("object", object);
        answer.put("created", created);
        answer.put("model", model);
        return answer;
    }

    private static ObjectNode choice(ObjectNode answer, String reason) {
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("finish_reason", reason);
        return choice;
    }

    private ObjectNode usage() {
        ObjectNode usage = Json.object();
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", tokens.size());
        usage.put("total_tokens", promptTokens + tokens.size());
        return usage;
    }

    private static String lastUserMessage(JsonNode request) {
        JsonNode messages = request.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw StandInException.openAi(400, "bad_request", "\"messages\" must be a list");
        }
        String last = "";
        for (JsonNode message : messages) {
            if (message.path("role").asText().equals("user")) {
                last = content(message.path("content"));
            }
        }
        return last;
    }

    private static String prompt(JsonNode request) {
        JsonNode prompt = request.path("prompt");
        return content(prompt.isArray() ? prompt.path(0) : prompt);
    }

    /** A plain text, or the text parts of a list of parts. */
    private static String content(JsonNode content) {
        if (!content.isArray()) {
            return content.asText();
        }
        StringBuilder text = new StringBuilder();
        content.forEach(part -> text.append(part.path("text").asText()));
        return text.toString();
    }

    private static int countMessages(JsonNode request) {
        int count = 0;
        for (JsonNode message : request.path("messages")) {
            count += words(content(message.path("content"))).size();
        }
        return count;
    }

    private static List<String> words(String text) {
        List<String> words = new ArrayList<>();
        for (String word : text.strip().split("\\s+")) {
            if (!word.isEmpty()) {
                words.add(words.isEmpty() ? word : " " + word);
            }
        }
        return words;
    }
}
