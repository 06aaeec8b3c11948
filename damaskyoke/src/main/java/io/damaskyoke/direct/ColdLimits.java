package io.damaskyoke.direct;

import io.damaskyoke.control.cold.ColdLimit;
import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.settings.DirectSettings;
import java.util.HashMap;
import java.util.Map;

/**
 * Computes the rate limits of cold upstreams of each service, from the configuration and the
 * overage and slack of the settings.
 */
final class ColdLimits {
    private ColdLimits() {}

    static Map<String, ColdLimit> of(DirectConfiguration configuration, DirectSettings.Cold cold) {
        Map<String, ColdLimit> limits = new HashMap<>();
        configuration.services().values().forEach(each -> limits.put(each.name(), of(each, cold)));
        return limits;
    }

    private static ColdLimit of(ServiceSpec service, DirectSettings.Cold cold) {
        double rate = service.coldPerSecond();
        return rate == 0
                ? ColdLimit.NONE
                : new ColdLimit(service.coldTime(), rate * cold.overage() + cold.slack());
    }
}
