package io.damaskyoke.settings;

import io.damaskyoke.DamaskyokeException;
import java.util.List;
import java.util.stream.Collectors;

/** Says that a settings file can't be used, with every fault that was found in it. */
public final class SettingsException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    private final transient Code code;
    private final transient List<Fault> faults;

    /** What went wrong. */
    public enum Code {
        /** The file can't be read. */
        UNREADABLE,
        /** The file isn't TOML. */
        SYNTAX,
        /** The file has unknown, missing or bad keys. */
        INVALID
    }

    SettingsException(Code code, List<Fault> faults) {
        super(code, faults.stream().map(Fault::line).collect(Collectors.joining("\n")), null);
        this.code = code;
        this.faults = List.copyOf(faults);
    }

    /** What went wrong. */
    public Code code() {
        return code;
    }

    /** Every fault, in the order of the table of keys; never empty. */
    public List<Fault> faults() {
        return faults;
    }
}
