package io.damaskyoke.peer;

import io.damaskyoke.peer.wire.Frame;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;

/**
 * Builds the Netty pipeline of a connection: a four-byte length, then a {@link Frame}.
 *
 * <p>Until the hello frame was received only a small frame is accepted, so that an unknown client
 * can't make this process buffer megabytes.
 */
final class LinkPipeline {
    static final int MAX_HELLO_BYTES = 4096;
    private static final int LENGTH_BYTES = 4;
    private static final String FRAME_DECODER = "frames";

    private LinkPipeline() {}

    static void build(Channel channel, NettyLink link, LinkHandler.Context context) {
        link.attach(channel);
        long silence = context.silence().toMillis();
        channel.pipeline()
                .addLast(new FlushConsolidationHandler())
                .addLast(new IdleStateHandler(silence, 0, 0, TimeUnit.MILLISECONDS))
                .addLast(FRAME_DECODER, frameDecoder(MAX_HELLO_BYTES))
                .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ProtobufEncoder())
                .addLast(new LinkHandler(link, context));
    }

    static void allowFullFrames(ChannelPipeline pipeline, LinkHandler.Context context) {
        pipeline.replace(FRAME_DECODER, FRAME_DECODER, frameDecoder(context.maxFrameBytes()));
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(
                maxBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
