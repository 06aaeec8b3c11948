package io.damaskyoke.daemons;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.junit.jupiter.api.Test;

class PekkoConfigurationTest {
    @Test
    void theDaemonsUseFewThreadsAndTellCallersNothingOfTheServer() {
        ActorSystem system = ActorSystem.create("test", ConfigFactory.load());
        try {
            String max = "pekko.actor.default-dispatcher.fork-join-executor.parallelism-max";
            assertEquals(4, system.settings().config().getInt(max));
            assertEquals(
                    "damaskyoke.control-dispatcher",
                    system.dispatchers().lookup("damaskyoke.control-dispatcher").id());
            assertFalse(ServerSettings.create(system).getServerHeader().isPresent());
        } finally {
            system.terminate();
        }
    }
}
