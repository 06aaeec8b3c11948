package io.damaskyoke.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/** Where the platform's services are. */
public record PlatformSettings(
        List<URI> store,
        String storePrefix,
        Duration storeTimeout,
        URI vmList,
        Duration vmListPeriod) {}
