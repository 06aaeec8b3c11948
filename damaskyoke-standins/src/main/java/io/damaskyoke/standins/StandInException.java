package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A request that a stand-in answers with an error; carries the HTTP status and the body. */
public final class StandInException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private static final int GRPC_INVALID_ARGUMENT = 3;
    private static final int GRPC_NOT_FOUND = 5;

    private final int status;
    private final transient ObjectNode body;

    private StandInException(int status, String message, ObjectNode body) {
        super(message);
        this.status = status;
        this.body = body;
    }

    static StandInException badRequest(String message) {
        return grpc(400, GRPC_INVALID_ARGUMENT, message);
    }

    static StandInException notFound(String message) {
        return grpc(404, GRPC_NOT_FOUND, message);
    }

    /** An error as the JSON gateway of etcd writes it. */
    static StandInException grpc(int status, int code, String message) {
        ObjectNode body = Json.object();
        body.put("error", message);
        body.put("code", code);
        body.put("message", message);
        return new StandInException(status, message, body);
    }

    /** An error as the OpenAI API writes it. */
    static StandInException openAi(int status, String code, String message) {
        ObjectNode body = Json.object();
        ObjectNode error = body.putObject("error");
        error.put("message", message);
        error.put("type", "invalid_request_error");
        error.put("code", code);
        return new StandInException(status, message, body);
    }

    int status() {
        return status;
    }

    ObjectNode body() {
        return body;
    }
}
