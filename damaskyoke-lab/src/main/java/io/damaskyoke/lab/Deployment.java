package io.damaskyoke.lab;

import java.time.Duration;
import java.util.Locale;

/**
 * The two deployments at their sizes of today.
 *
 * <p>What the users' pages give: zones, workers, models, adapters, workspaces, loads a second, four
 * loads at once at full speed, about thirty adapter loads. What they don't give is assumed here and
 * said in docs/design/measure.md: memory, load times and request rates.
 */
public enum Deployment {
    /** Quick answers while a templater waits: a few bursts over many idle models. */
    MALABAR(12, 55, 115, 5, 5.0),
    /** Summaries, notes, reports and payments of lease books. */
    TIRAMKAWI(12, 35, 115, 5, 6.0);

    /** Availability zones of each. */
    public static final int ZONES = 3;

    /** Loads of models that the weight store serves at full speed at once. */
    public static final int FULL_SPEED_LOADS = 4;

    /** Loads of adapters that may be in flight before they slow down. */
    public static final int FULL_SPEED_ADAPTERS = 30;

    /** Routers before the workers. */
    public static final int ROUTERS = 3;

    private final int workers;
    private final int models;
    private final int adapters;
    private final int workspaces;
    private final double loadsPerSecond;

    Deployment(int workers, int models, int adapters, int workspaces, double loadsPerSecond) {
        this.workers = workers;
        this.models = models;
        this.adapters = adapters;
        this.workspaces = workspaces;
        this.loadsPerSecond = loadsPerSecond;
    }

    /** The deployment with this name, in any case, or an exception that names them all. */
    public static Deployment named(String name) {
        for (Deployment deployment : values()) {
            if (deployment.label().equals(name.toLowerCase(Locale.ROOT))) {
                return deployment;
            }
        }
        throw new IllegalArgumentException("deployment must be malabar or tiramkawi: " + name);
    }

    /** Engine VMs. */
    public int workers() {
        return workers;
    }

    /** Models, most of them idle. */
    public int models() {
        return models;
    }

    /** Adapters on them. */
    public int adapters() {
        return adapters;
    }

    /** Workspaces, a few of them large. */
    public int workspaces() {
        return workspaces;
    }

    /** Loads that the weight store begins in a second. */
    public double loadsPerSecond() {
        return loadsPerSecond;
    }

    /** The name on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** How long an experiment lasts on its own clock. */
    public Duration length() {
        return Duration.ofMinutes(30);
    }
}
