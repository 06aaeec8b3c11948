package io.damaskyoke.control.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TicketParserTest {
    private final TicketParser parser = TicketParser.withHasher(KeyHasher.of("0123456789abcdef"));

    // Guards against a stored ticket of another writer that ends the thread which reads it.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "7",
                "{\"number\":1e400}",
                "{\"number\":99999999999999999999}",
                "{\"number\":1,\"models\":[null]}",
                "{\"number\":1,\"models\":[[]]}",
                "{\"number\":1,\"models\":[{\"name\":\"\u0000\"}]}"
            })
    void anOddTicketIsRefused(String ticket) {
        assertRefused(ticket);
        assertRefused("{\"number\":" + "9".repeat(5_000) + "}");
        assertRefused("[".repeat(200_000) + "]".repeat(200_000));
    }

    private void assertRefused(String ticket) {
        byte[] json = ticket.getBytes(StandardCharsets.UTF_8);
        assertThrows(TicketException.class, () -> parser.parse(json));
        assertThrows(TicketException.class, () -> TicketParser.forStoredTickets().parse(json));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "MALFORMED      | {\"number\":1                                    | not JSON",
                "MALFORMED      | {\"number\":1,\"number\":2}                      | twice",
                "MALFORMED      | {\"number\":1} x                                 | not JSON",
                "MALFORMED      | []                                               | object",
                "EMPTY          | {\"number\":1}                                   | nothing",
                "EMPTY          | {\"number\":1,\"models\":[]}                     | nothing",
                "UNKNOWN_FIELD  | {\"number\":1,\"tenants\":[]}                    | tenants",
                "UNKNOWN_FIELD  | {\"number\":1,\"workspaces\":[{\"idd\":\"a\"}]}  | idd",
                "BAD_VALUE      | {\"models\":[]}                                  | number",
                "BAD_VALUE      | {\"number\":-1}                                  | number",
                "BAD_VALUE      | {\"number\":1.5}                                 | number",
                "BAD_VALUE      | {\"number\":\"1\"}                               | number",
                "BAD_VALUE      | {\"number\":1,\"workspaces\":{}}                 | workspaces",
                "BAD_VALUE | {'number':1,'workspaces':[{'id':'a b','rate':1,'burst':1}]} | id",
                "BAD_VALUE | {'number':1,'workspaces':[{'id':'a','rate':-1,'burst':1}]} | rate",
                "BAD_VALUE | {'number':1,'workspaces':[{'id':'a','rate':1e99,'burst':1}]} | rate",
                "BAD_VALUE | {'number':1,'workspaces':[{'id':'a','rate':1}]} | burst",
                "BAD_VALUE | {'number':1,'workspaces':[{'id':'a','removed':false}]} | removed",
                "BAD_VALUE |"
                        + " {'number':1,'workspaces':[{'id':'a','rate':1,'removed':true}]}|removed",
                "BAD_VALUE | {'number':1,'keys':[{'id':'k','workspace':'a','key':'x'}]} | state",
                "BAD_VALUE |"
                        + " {'number':1,'keys':[{'id':'k','workspace':'a','state':'granted'}]}|key",
                "BAD_VALUE | {'number':1,'models':[{'name':'m','version':'1','pool':'p'}]} |"
                        + " memory",
                "BAD_VALUE | {'number':1,'services':[{'name':'s','pool':'p','idempotent':['x']}]}"
                        + "| idempotent",
                "DUPLICATE_OBJECT | {'number':1,'models':[{'name':'m','removed':true},"
                        + "{'name':'m','removed':true}]} | model/m"
            })
    void refusesAnInvalidTicketAndNamesTheField(
            TicketException.Code code, String json, String named) {
        TicketException refusal =
                assertThrows(TicketException.class, () -> parse(json.replace('\'', '"')), json);
        assertEquals(code, refusal.code(), refusal.getMessage());
        assertTrue(refusal.getMessage().contains(named), refusal.getMessage());
    }

    @Test
    void aTicketAboveTheLimitIsRefusedBeforeItIsParsed() {
        byte[] large = new byte[TicketParser.MAX_BYTES + 1];
        TicketException refusal = assertThrows(TicketException.class, () -> parser.parse(large));
        assertEquals(TicketException.Code.TOO_LARGE, refusal.code());
    }

    @Test
    void callerKeysAreStoredOnlyAsHashes() {
        Ticket ticket = parse(SampleTickets.keyTicketJson(1, "k", "a", "sk-secret", "granted"));
        assertFalse(ticket.toString().contains("sk-secret"), ticket.toString());
    }

    @Test
    void theErrorForInvalidJsonDoesNotQuoteTheCallerKey() {
        TicketException refusal =
                assertThrows(TicketException.class, () -> parse("{\"key\": sk-secret }"));
        assertFalse(refusal.getMessage().contains("secret"), refusal.getMessage());
    }

    @Test
    void theStoredFormParsesToTheSameTicket() {
        Ticket ticket =
                parse(
                        """
                        {"number":17,
                         "workspaces":[{"id":"a","rate":10,"burst":20},{"id":"b","removed":true}],
                         "keys":[{"id":"k","workspace":"a","key":"sk-1","state":"granted"}],
                         "models":[{"name":"m","version":"1","pool":"p","memory_bytes":5},
                                   {"name":"n","version":"1","pool":"p","memory_bytes":5,
                                    "max_replicas":2,"base":"m","workspaces":["a"]}],
                         "services":[{"name":"s","pool":"q","idempotent":["POST /look"]}]}
                        """);
        assertEquals(ticket, TicketParser.forStoredTickets().parse(ticket.toJson()));
    }

    @Test
    void theDigestDoesNotDependOnTheOrderOfObjects() {
        Ticket one =
                parse(
                        "{\"number\":1,\"models\":[{\"name\":\"m\",\"removed\":true},"
                                + "{\"removed\":true,\"name\":\"n\"}]}");
        Ticket other =
                parse(
                        "{\"models\":[{\"name\":\"n\",\"removed\":true},"
                                + "{\"name\":\"m\",\"removed\":true}],\"number\":1}");
        assertEquals(one.digest(), other.digest());
    }

    private Ticket parse(String json) {
        return parser.parse(json.getBytes(StandardCharsets.UTF_8));
    }
}
