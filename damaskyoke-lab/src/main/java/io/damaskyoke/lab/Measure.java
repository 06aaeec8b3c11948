package io.damaskyoke.lab;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.damaskyoke.lab.coldstart.ColdStarts;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * {@code bin/measure --deployment malabar --seed 1 [--fault store-out]}: runs the experiments,
 * prints a table, and writes the same rows as CSV.
 */
public final class Measure {
    /** Every experiment there is. */
    private static final List<Experiment> EXPERIMENTS =
            List.of(
                    new ColdStarts(),
                    new RateExperiment(),
                    new WaitingExperiment(),
                    new ConfigurationExperiment(),
                    new PaymentOutage(),
                    new ClaimWrites());

    @Parameter(names = "--deployment", description = "malabar or tiramkawi", required = true)
    private String deployment;

    @Parameter(names = "--seed", description = "Where the random input starts")
    private long seed = 1;

    @Parameter(names = "--seeds", description = "How many seeds to run, from --seed on")
    private int seeds = 1;

    @Parameter(
            names = "--fault",
            description = "none, store-out, weights-slow, workers-lost or routers-lost")
    private String fault = "none";

    @Parameter(names = "--experiment", description = "Only the experiment with this name")
    private String only;

    @Parameter(names = "--out", description = "Folder for the CSV file; none if left out")
    private Path out;

    @Parameter(names = "--help", help = true, description = "Print this page")
    private boolean help;

    private Measure() {}

    /** Exit codes: 0 measured, 2 usage. */
    public static void main(String[] args) {
        Measure measure = new Measure();
        JCommander commander =
                JCommander.newBuilder().programName("measure").addObject(measure).build();
        try {
            commander.parse(args);
            if (measure.help) {
                commander.usage();
                return;
            }
            measure.run();
        } catch (ParameterException | IllegalArgumentException e) {
            System.err.println("measure: " + e.getMessage());
            System.exit(2);
        }
    }

    private void run() {
        Deployment where = Deployment.named(deployment);
        Fault what = Fault.named(fault);
        Summary summary = new Summary();
        List<String> csv = new ArrayList<>();
        csv.add("deployment,fault,seed,experiment,policy,figure,unit,value");
        for (long each = seed; each < seed + seeds; each++) {
            for (Experiment experiment : chosen()) {
                for (Experiment.Row row : experiment.run(where, each, what)) {
                    summary.add(row);
                    csv.add(line(where, what, each, row));
                }
            }
        }
        System.out.print(summary.table(where, what, seed, seeds));
        if (out != null) {
            write(csv, where, what);
        }
    }

    private List<Experiment> chosen() {
        return EXPERIMENTS.stream()
                .filter(experiment -> only == null || experiment.name().equals(only))
                .toList();
    }

    private static String line(Deployment where, Fault what, long seed, Experiment.Row row) {
        return String.format(
                Locale.ROOT,
                "%s,%s,%d,%s,%s,%s,%s,%.6f",
                where.label(),
                what.label(),
                seed,
                row.experiment(),
                row.policy(),
                row.figure(),
                row.unit(),
                row.value());
    }

    private void write(List<String> csv, Deployment where, Fault what) {
        try {
            Files.createDirectories(out);
            Files.write(out.resolve(where.label() + "-" + what.label() + ".csv"), csv);
        } catch (IOException e) {
            throw new UncheckedIOException("can't write to " + out, e);
        }
    }
}
