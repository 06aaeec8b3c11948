package io.damaskyoke.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RegistrationTest {
    // Guards against a registration of another writer that hides those read with it.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "7",
                "[]",
                "{}",
                "{\"vm\":\"a\",\"incarnation\":\"1\",\"pool\":\"p\",\"availability_zone\":\"z\",\"host\":\"h\"}",
                "{\"vm\":\"a\",\"incarnation\":\"1\",\"pool\":\"p\",\"availability_zone\":\"z\",\"host\":\"h\",\"port\":-1}",
                "{\"vm\":\"a\",\"incarnation\":\"1\",\"pool\":\"p\",\"availability_zone\":\"z\",\"host\":\"h\",\"port\":65536}",
                "{\"vm\":\"a\",\"incarnation\":\"1\",\"pool\":\"p\",\"availability_zone\":\"z\",\"host\":\"h\",\"port\":1e400}",
                "{\"vm\":\"a\",\"incarnation\":\"1\",\"pool\":\"p\",\"availability_zone\":\"z\",\"port\":1}"
            })
    void anOddRegistrationIsABadAnswer(String json) {
        PlatformException failure =
                assertThrows(PlatformException.class, () -> Registration.parse(bytes(json)));
        assertEquals(PlatformException.Code.BAD_ANSWER, failure.code());
        assertThrows(PlatformException.class, () -> Registration.parse(bytes("[".repeat(200_000))));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
