package io.damaskyoke.control.upstreams;

/** The tokens that requests take in an upstream's memory, as far as this router can tell. */
final class TokensInUse {
    /** Weight of the newest request in the moving average: about the last thirty count. */
    private static final double NEWEST_WEIGHT = 0.03;

    private long own;
    private double mean;

    /** Records a request of this router that is assigned to the upstream. */
    void add(TokenUsage tokens) {
        own += tokens.total();
        mean = mean == 0 ? tokens.total() : mean + NEWEST_WEIGHT * (tokens.total() - mean);
    }

    /** Records that a request of this router has finished. */
    void remove(TokenUsage tokens) {
        own -= tokens.total();
    }

    /**
     * Returns the tokens in use by this router's requests and by those of other routers, whose
     * tokens are taken to be the mean of this router's requests.
     *
     * @param otherRequests number of the other routers' requests
     */
    double with(double otherRequests) {
        return own + otherRequests * mean;
    }
}
