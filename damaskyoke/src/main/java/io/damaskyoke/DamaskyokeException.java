package io.damaskyoke;

import java.util.Objects;

/**
 * The parent of every exception that this library throws on purpose.
 *
 * <p>Each package has its own subclass with its own codes, and turns the errors of the layer below
 * into them. The code is stable and meant for programs; the message is meant for people.
 */
public abstract class DamaskyokeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Enum<?> code;

    protected DamaskyokeException(Enum<?> code, String message, Throwable cause) {
        super(message, cause);
        this.code = Objects.requireNonNull(code, "code");
    }

    /** The stable name of what went wrong, for example {@code STORE_UNAVAILABLE}. */
    public String codeName() {
        return code.name();
    }
}
