package io.damaskyoke.rates;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.rates.RateAction;
import io.damaskyoke.control.rates.RateInput;
import io.damaskyoke.control.rates.ShareTable;
import io.damaskyoke.control.rates.WaitLimits;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.http.HttpException;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.peer.PeerAddress;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerListener;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.Role;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import io.damaskyoke.peer.wire.TokenRequest;
import io.damaskyoke.peer.wire.TokenTransfer;
import io.damaskyoke.platform.VmList;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Carries requests for tokens, and tokens, between this router and the others. */
public final class RatePeers implements PeerListener {
    private final ControlThread control;
    private final RateAdmission rates;
    private final Map<VmId, PeerAddress> addresses = new HashMap<>();
    private final Map<VmId, PeerLink> links = new HashMap<>();
    private PeerNetwork network;

    /** Between this control thread and those rates. */
    public RatePeers(ControlThread control, RateAdmission rates) {
        this.control = control;
        this.rates = rates;
    }

    /** Says what to send over; before the first message. */
    public void over(PeerNetwork given) {
        network = given;
    }

    /** Takes in where the routers are that have shares. */
    void known(Collection<RateInput.ShareRow> rows) {
        addresses.clear();
        alsoKnown(rows);
    }

    /** The same of one row; of the others' routers it says nothing. */
    void alsoKnown(Collection<RateInput.ShareRow> rows) {
        rows.forEach(row -> row.table().shares().values().forEach(this::known));
    }

    /** Takes in where the routers on the list are; a share's own address goes before it. */
    void listed(Collection<VmList.Vm> routers) {
        routers.forEach(
                vm ->
                        addresses.putIfAbsent(
                                vm.id(), new PeerAddress(vm.id(), vm.address(), vm.peerPort())));
    }

    void ask(RateAction.SendTokenRequest ask) {
        TokenRequest.Builder request =
                TokenRequest.newBuilder()
                        .setWorkspace(ask.workspace().value())
                        .setTokens(ask.tokens())
                        .setRequestId(ask.requestId())
                        .addAllSpent(ask.spentTransfers());
        ask.waitLimits()
                .ifPresent(
                        wait ->
                                request.setInTimeMs((int) wait.inTime().toMillis())
                                        .setLongestMs((int) wait.longest().toMillis()));
        send(ask.to(), Frame.newBuilder().setTokenRequest(request).build());
    }

    void lend(RateAction.SendTokenTransfer lend) {
        TokenTransfer transfer =
                TokenTransfer.newBuilder()
                        .setWorkspace(lend.workspace().value())
                        .setTokens(lend.tokens())
                        .setTransferId(lend.transferId())
                        .setQueued(lend.queued())
                        .setComeBackMs((int) lend.retryAfter().toMillis())
                        .build();
        send(lend.to(), Frame.newBuilder().setTokenTransfer(transfer).build());
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        link.remote()
                .filter(hello -> hello.getRole().equals(Role.ROUTER.wireName()))
                .map(Hello::getVm)
                .map(VmId::of)
                .ifPresent(vm -> control.run(() -> take(vm, link, frame)));
    }

    private void take(VmId from, PeerLink link, Frame frame) {
        links.put(from, link);
        if (frame.hasTokenRequest()) {
            TokenRequest request = frame.getTokenRequest();
            rates.feed(
                    new RateInput.TokensRequested(
                            from,
                            new WorkspaceId(request.getWorkspace()),
                            request.getTokens(),
                            request.getRequestId(),
                            List.copyOf(request.getSpentList()),
                            wait(request)));
        } else if (frame.hasTokenTransfer()) {
            TokenTransfer transfer = frame.getTokenTransfer();
            rates.feed(
                    new RateInput.TransferReceived(
                            from,
                            new WorkspaceId(transfer.getWorkspace()),
                            transfer.getTokens(),
                            transfer.getTransferId(),
                            transfer.getQueued(),
                            Duration.ofMillis(transfer.getComeBackMs())));
        } else {
            rates.feed(new RateInput.PeerMessageReceived(from));
        }
    }

    private static Optional<WaitLimits> wait(TokenRequest request) {
        if (request.getLongestMs() == 0) {
            return Optional.empty();
        }
        Duration inTime = Duration.ofMillis(request.getInTimeMs());
        return Optional.of(new WaitLimits(inTime, Duration.ofMillis(request.getLongestMs())));
    }

    private void known(ShareTable.Share share) {
        address(share).ifPresent(address -> addresses.put(share.vm(), address));
    }

    // Rows may come from another writer, and one share must not hide the others.
    private static Optional<PeerAddress> address(ShareTable.Share share) {
        try {
            Endpoint endpoint = Endpoint.parse(share.address());
            return Optional.of(new PeerAddress(share.vm(), endpoint.host(), endpoint.port()));
        } catch (HttpException e) {
            return Optional.empty();
        }
    }

    private void send(VmId to, Frame frame) {
        PeerLink link = links.get(to);
        if (link != null && link.open()) {
            link.send(frame);
            return;
        }
        PeerAddress address = addresses.get(to);
        if (address != null) {
            network.connect(address).thenAccept(opened -> opened.send(frame));
        }
    }
}
