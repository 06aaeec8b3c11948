package io.damaskyoke.standins.demo;

/** Says that an answer is not what it should be, which fails the demo. */
final class WrongAnswerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WrongAnswerException(String message) {
        super(message);
    }
}
