package io.damaskyoke.lab;

import java.util.List;

/**
 * One measurement: drives the real machines and their naive rivals through the same input on a
 * clock of its own. The same deployment, seed and fault give the same rows, to the byte.
 */
public interface Experiment {
    /** Its name on the command line and in the rows. */
    String name();

    /** Runs it and gives a row for each policy and figure. */
    List<Row> run(Deployment deployment, long seed, Fault fault);

    /**
     * One figure.
     *
     * @param experiment which measurement
     * @param policy {@code naive}, {@code ours}, or another way that was weighed
     * @param figure what was measured
     * @param unit in what
     * @param value how much; smaller is better unless the figure's name says otherwise
     */
    record Row(String experiment, String policy, String figure, String unit, double value) {}
}
