package io.damaskyoke.http;

/**
 * Where a response came, for logs: {@code 7/3/3}. A response to the request that was written last
 * has the same number as that request, unless the server has sent extra ones.
 *
 * @param connection the number of the connection, counted by its client
 * @param request how many requests have been written on the connection
 * @param answer how many responses have begun on the connection
 */
public record AnswerPlace(long connection, int request, int answer) {
    @Override
    public String toString() {
        return connection + "/" + request + "/" + answer;
    }
}
