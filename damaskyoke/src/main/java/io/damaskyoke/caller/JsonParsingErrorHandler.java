package io.damaskyoke.caller;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import org.apache.pekko.event.LoggingAdapter;
import org.apache.pekko.http.ParsingErrorHandler;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.ErrorInfo;
import org.apache.pekko.http.scaladsl.model.StatusCode;
import org.apache.pekko.http.scaladsl.settings.ServerSettings;

/** Answers what the HTTP parser refuses by itself in the same JSON as every other refusal. */
public final class JsonParsingErrorHandler extends ParsingErrorHandler {
    /** Pekko finds the handler by its class name and this field, as of a Scala object. */
    public static JsonParsingErrorHandler MODULE$ = new JsonParsingErrorHandler();

    private JsonParsingErrorHandler() {}

    @Override
    public HttpResponse handle(
            StatusCode status, ErrorInfo error, LoggingAdapter log, ServerSettings settings) {
        Refusal refusal = Refusal.notRun(RefusalCode.MALFORMED_REQUEST, error.summary());
        return AnswerWriter.refusal(refusal).withStatus(status);
    }
}
