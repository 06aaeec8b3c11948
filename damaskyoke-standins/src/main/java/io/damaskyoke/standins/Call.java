package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** A request that a stand-in received, with its whole body. Header names are in lower case. */
record Call(
        String method,
        String path,
        Map<String, String> query,
        Map<String, String> headers,
        byte[] body,
        Connection connection) {

    boolean is(String otherMethod, String otherPath) {
        return method.equals(otherMethod) && path.equals(otherPath);
    }

    JsonNode json() {
        return Json.parseObject(body);
    }

    StandInException notFound() {
        return StandInException.notFound("No such call: " + method + " " + path);
    }
}
