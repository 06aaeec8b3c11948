package io.damaskyoke.control.configuration;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.ServiceName;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ServiceTest {
    private final Service leases =
            new Service(
                    ServiceName.of("leases"),
                    PoolName.of("leases"),
                    List.of("POST /lookup", "PUT /notes/"),
                    Set.of());

    @Test
    void anIdempotentCallCoversItsPathAndItsSubpaths() {
        assertTrue(leases.isIdempotent("POST", "/lookup"));
        assertTrue(leases.isIdempotent("POST", "/lookup?bed=7"));
        assertTrue(leases.isIdempotent("POST", "/lookup/north"));
        assertTrue(leases.isIdempotent("PUT", "/notes/7"));
    }

    @Test
    void anIdempotentCallDoesNotCoverAPathThatOnlySharesATextPrefix() {
        // Guards against a text prefix match: the idempotent call POST /lookup would cover a
        // payment at /lookupandpay, which would then be run again when its agent crashes.
        assertFalse(leases.isIdempotent("POST", "/lookupandpay"));
        assertFalse(leases.isIdempotent("POST", "/lookup-and-pay?x=/"));
        assertFalse(leases.isIdempotent("PUT", "/lookup"));
        assertFalse(leases.isIdempotent("POST", "/"));
    }

    @Test
    void safeMethodsAreAlwaysIdempotent() {
        assertTrue(leases.isIdempotent("GET", "/pay"));
    }
}
