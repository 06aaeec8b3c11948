package io.damaskyoke.settings;

/** Who and where a process is, and how it logs. */
public record ProcessSettings(
        String vm,
        String availabilityZone,
        String keySecret,
        LogFormat logFormat,
        int timelineEvents) {

    /** How log lines look. */
    public enum LogFormat {
        /** For people. */
        TEXT,
        /** One JSON object a line, for collectors. */
        JSON
    }

    /** Leaves out the secret, as settings end up in logs. */
    @Override
    public String toString() {
        return "ProcessSettings[vm="
                + vm
                + ", availabilityZone="
                + availabilityZone
                + ", logFormat="
                + logFormat
                + ", timelineEvents="
                + timelineEvents
                + "]";
    }
}
