package io.damaskyoke.settings;

import java.time.Duration;

/** How a process ends: first it waits for the balancer, then for what runs, up to the limit. */
public record StopSettings(Duration balancerWait, Duration limit) {}
