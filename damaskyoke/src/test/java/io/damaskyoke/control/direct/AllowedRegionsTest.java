package io.damaskyoke.control.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AllowedRegionsTest {
    @Test
    void noRegionsMeanAnywhere() {
        AllowedRegions regions = AllowedRegions.of(List.of());
        assertTrue(regions.isUnrestricted());
        assertTrue(regions.allows("kerala"));
        assertTrue(regions.allows(""));
    }

    @Test
    void anUnknownRegionIsNotAllowed() {
        assertFalse(AllowedRegions.of(List.of("kerala")).allows(""));
    }

    @Test
    void theIntersectionHoldsTheCommonRegions() {
        AllowedRegions route = AllowedRegions.of(List.of("kerala", "goa"));
        AllowedRegions workspace = AllowedRegions.of(List.of("goa", "java"));
        assertEquals(AllowedRegions.of(List.of("goa")), route.intersect(workspace));
        assertEquals(route, route.intersect(AllowedRegions.ANYWHERE));
        assertEquals(route, AllowedRegions.ANYWHERE.intersect(route));
    }

    // Guards against an empty intersection that is taken for no restriction.
    @Test
    void regionsWithoutACommonOneAllowNothing() {
        AllowedRegions none =
                AllowedRegions.of(List.of("kerala")).intersect(AllowedRegions.of(List.of("java")));
        assertFalse(none.isUnrestricted());
        assertFalse(none.allows("kerala"));
        assertFalse(none.allows("java"));
    }
}
