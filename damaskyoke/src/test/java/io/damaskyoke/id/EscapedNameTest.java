package io.damaskyoke.id;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EscapedNameTest {
    private static final String ODD = "aA %.:/-_\u00e9e\u0301\u014d\ud83e\uddaa\ud800\udc00\r\n\0?";

    @Test
    void otherCharactersAreEscaped() {
        assertEquals("Feria%20Sur", EscapedName.of("Feria Sur"));
        assertEquals("50%25", EscapedName.of("50%"));
        assertEquals("K%C5%8Dwhai", EscapedName.of("K\u014dwhai"));
    }

    // Guards against a second row of rates, and so a second allowance, beside that of today's key.
    @Test
    void aNameThatCouldBeAnIdStaysAsItIs() {
        for (String name : List.of("feria-sur", "tenant-2/..", "a:b_c", "n".repeat(183))) {
            assertEquals(name, WorkspaceId.ofName(name).value());
        }
    }

    // Guards against two workspaces that share one row of rates, or one name at an upstream.
    @Test
    void noTwoNamesBecomeTheSame() {
        Map<String, String> nameByEscaped = new HashMap<>();
        Random random = new Random(7);
        for (int round = 0; round < 200_000; round++) {
            String name = drawName(random);
            String escaped = WorkspaceId.ofName(name).value();
            assertEquals(name, nameByEscaped.computeIfAbsent(escaped, any -> name));
        }
        for (String name : List.of("a b", "a%20b", "a%2520b", "?", "\ud800", "\udbff", "%")) {
            String escaped = WorkspaceId.ofName(name).value();
            assertEquals(name, nameByEscaped.computeIfAbsent(escaped, any -> name));
        }
    }

    // Guards against keys that are too long for the store, and long names of the same beginning.
    @Test
    void longNamesAreCutAndStayApart() {
        String one = WorkspaceId.ofName("n".repeat(9_000)).value();
        String other = WorkspaceId.ofName("n".repeat(9_001)).value();
        assertTrue(one.length() <= EscapedName.MAX_LENGTH);
        assertTrue(!one.equals(other));
    }

    // Guards against ids in tickets that are taken for escaped names.
    @Test
    void anIdThatOperatorsChooseHasNoEscapes() {
        assertThrows(IllegalArgumentException.class, () -> WorkspaceId.of("a%20b"));
        assertThrows(IllegalArgumentException.class, () -> WorkspaceId.ofName(""));
    }

    private static String drawName(Random random) {
        StringBuilder name = new StringBuilder();
        int length = 1 + random.nextInt(4);
        for (int each = 0; each < length; each++) {
            name.append(ODD.charAt(random.nextInt(ODD.length())));
        }
        return name.toString();
    }
}
