package io.damaskyoke.node;

import com.google.protobuf.ByteString;
import io.damaskyoke.control.configuration.ConfigurationSnapshot;
import io.damaskyoke.control.configuration.LogEntry;
import io.damaskyoke.control.relay.RegistrationTable.Delta;
import io.damaskyoke.control.relay.RegistrationTable.Row;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.wire.AgentRegistration;
import io.damaskyoke.peer.wire.ConfigEntries;
import io.damaskyoke.peer.wire.ConfigEntry;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Registrations;
import io.damaskyoke.peer.wire.SnapshotChunk;
import java.util.ArrayList;
import java.util.List;

/** What relays send, as frames and back. */
final class RelayFrames {
    /** Bytes of entries or of a snapshot in one frame; the smallest frame limit is 128 KiB. */
    static final int BATCH_BYTES = 64 * 1024;

    private static final int ROWS = 256;

    private RelayFrames() {}

    /** As many of these, in order, as go into one frame; one at least. */
    static List<ConfigEntry> batch(List<LogEntry> entries) {
        List<ConfigEntry> batch = new ArrayList<>();
        int bytes = 0;
        for (LogEntry entry : entries) {
            bytes += entry.value().length;
            if (bytes > BATCH_BYTES && !batch.isEmpty()) {
                break;
            }
            batch.add(
                    ConfigEntry.newBuilder()
                            .setSequence(entry.sequence())
                            .setTicket(ByteString.copyFrom(entry.value()))
                            .build());
        }
        return batch;
    }

    static List<LogEntry> entries(ConfigEntries frame) {
        return frame.getEntriesList().stream()
                .map(entry -> new LogEntry(entry.getSequence(), entry.getTicket().toByteArray()))
                .toList();
    }

    static Frame of(ConfigEntries.Builder entries) {
        return Frame.newBuilder().setConfigEntries(entries).build();
    }

    static List<Frame> snapshot(ConfigurationSnapshot snapshot) {
        byte[] bytes = snapshot.encode();
        int count = (bytes.length + BATCH_BYTES - 1) / BATCH_BYTES;
        List<Frame> frames = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            int from = index * BATCH_BYTES;
            int size = Math.min(BATCH_BYTES, bytes.length - from);
            frames.add(
                    of(
                            ConfigEntries.newBuilder()
                                    .setSnapshot(
                                            SnapshotChunk.newBuilder()
                                                    .setSequence(snapshot.sequence())
                                                    .setIndex(index)
                                                    .setCount(count)
                                                    .setData(
                                                            ByteString.copyFrom(
                                                                    bytes, from, size)))));
        }
        return frames;
    }

    /** A delta in pages; the last one carries the revision. */
    static List<Frame> registrations(Delta delta) {
        List<Frame> frames = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(delta.rows().size(), from + ROWS);
            Registrations.Builder page =
                    Registrations.newBuilder()
                            .setFull(delta.full() && from == 0)
                            .setRevision(to == delta.rows().size() ? delta.revision() : 0);
            delta.rows().subList(from, to).forEach(row -> page.addAgents(toWire(row)));
            frames.add(Frame.newBuilder().setRegistrations(page).build());
            from = to;
        } while (from < delta.rows().size());
        return frames;
    }

    static Row fromWire(AgentRegistration row) {
        return new Row(VmId.of(row.getVm()), row.getValue().toByteArray(), row.getRevision());
    }

    private static AgentRegistration toWire(Row row) {
        return AgentRegistration.newBuilder()
                .setVm(row.vm().value())
                .setValue(ByteString.copyFrom(row.value()))
                .setRevision(row.revision())
                .build();
    }
}
