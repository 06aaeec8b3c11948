package io.damaskyoke.control.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class HomesTest {
    @Test
    void noRegionsMeanAnywhere() {
        Homes homes = Homes.of(List.of());
        assertTrue(homes.anywhere());
        assertTrue(homes.allow("kerala"));
        assertTrue(homes.allow(""));
    }

    @Test
    void aRegionThatIsNotKnownIsNobodysHome() {
        assertFalse(Homes.of(List.of("kerala")).allow(""));
    }

    @Test
    void bothBindWhereBothNameRegions() {
        Homes route = Homes.of(List.of("kerala", "goa"));
        Homes workspace = Homes.of(List.of("goa", "java"));
        assertEquals(Homes.of(List.of("goa")), route.and(workspace));
        assertEquals(route, route.and(Homes.ANYWHERE));
        assertEquals(route, Homes.ANYWHERE.and(route));
    }

    // Guards against an empty intersection that is taken for no restriction.
    @Test
    void homesWithoutACommonRegionAllowNothing() {
        Homes none = Homes.of(List.of("kerala")).and(Homes.of(List.of("java")));
        assertFalse(none.anywhere());
        assertFalse(none.allow("kerala"));
        assertFalse(none.allow("java"));
    }
}
