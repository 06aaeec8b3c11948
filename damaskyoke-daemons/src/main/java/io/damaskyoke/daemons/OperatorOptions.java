package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;

/** The options of every command that asks a router. */
final class OperatorOptions {
    @Parameter(names = "--router", description = "URL of a router's operator port", required = true)
    private String router;

    @Parameter(names = "--token", description = "Operator token; other users can see it in ps")
    private String token;

    @Parameter(names = "--token-file", description = "File that holds the operator token")
    private Path tokenFile;

    /** A client of that router. */
    OperatorClient client() {
        return OperatorClient.of(url(), token());
    }

    private URI url() {
        try {
            URI url = URI.create(router);
            if (url.getHost() != null && String.valueOf(url.getScheme()).matches("https?")) {
                return url;
            }
        } catch (IllegalArgumentException e) {
            throw badUrl();
        }
        throw badUrl();
    }

    private CommandException badUrl() {
        return CommandException.usage(
                "--router: found " + router + "; allowed: a URL such as http://10.0.0.7:8081");
    }

    private String token() {
        if ((token == null) == (tokenFile == null)) {
            throw CommandException.usage("give either --token or --token-file");
        }
        return token != null ? token : tokenIn(tokenFile);
    }

    private static String tokenIn(Path file) {
        try {
            return Files.readString(file).strip();
        } catch (IOException e) {
            throw CommandException.usage("--token-file: " + file + " can't be read");
        }
    }
}
