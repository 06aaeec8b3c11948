package io.damaskyoke.caller;

import io.damaskyoke.settings.RouterSettings;
import java.util.Optional;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.settings.ParserSettings;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import scala.concurrent.duration.Duration;

/** The settings of Pekko's HTTP layer that follow from ours. */
final class HttpLimits {
    private HttpLimits() {}

    static ServerSettings of(RouterSettings.Caller settings, ActorSystem system) {
        ServerSettings defaults = ServerSettings.create(system);
        return defaults.withServerHeader(Optional.empty())
                .withRawRequestUriHeader(true)
                .withParsingErrorHandler(JsonParsingErrorHandler.class.getName())
                .withTimeouts(withoutTimeouts(defaults))
                .withParserSettings(parser(settings, system));
    }

    /** Answers may take as long as their deadlines, which are the dispatcher's business. */
    private static ServerSettings.Timeouts withoutTimeouts(ServerSettings defaults) {
        return defaults.getTimeouts()
                .withIdleTimeout(Duration.Inf())
                .withRequestTimeout(Duration.Inf());
    }

    /** Headers stay as they came: what a model of them would change, an upstream would not get. */
    private static ParserSettings parser(RouterSettings.Caller settings, ActorSystem system) {
        return ParserSettings.forServer(system)
                .withModeledHeaderParsing(false)
                .withIllegalHeaderWarnings(false)
                .withMaxHeaderValueLength(settings.maxHeaderBytes());
    }
}
