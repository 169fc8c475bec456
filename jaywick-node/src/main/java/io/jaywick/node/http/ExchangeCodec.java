package io.jaywick.node.http;

import java.net.SocketAddress;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.netty.ConnectionObserver;
import reactor.netty.NettyPipeline;

/**
 * HTTP/1.1 codec of a kept client connection with one exchange at a time. It closes the connection when bytes arrive
 * outside an exchange. Reactor Netty's codec keeps them, and a cut second response becomes the start of the next one.
 *
 * <p>Interim responses other than 100 are dropped; Reactor Netty would pass them on as final ones.
 *
 * <p>A response with a status other than three digits from 100 to 599 is malformed.
 *
 * <p>A response whose head contains a second status line is malformed: it starts with a cut second response that arrived
 * after the next request was sent.
 *
 * <p>A response has no id here. A second response whose whole head arrives after the next request was sent is read as
 * the response to that request.
 */
public final class ExchangeCodec extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {

    private static final System.Logger LOG = System.getLogger(ExchangeCodec.class.getName());

    private boolean responseExpected;
    private boolean noBodyExpected;

    /** Creates the codec of a new connection. */
    public ExchangeCodec() {
        init(new ResponseDecoder(), new HttpRequestEncoder());
    }

    /** Replaces the codec of a channel of Reactor Netty's HTTP client; called when the channel is initialized. */
    public static void install(ConnectionObserver observer, Channel channel, SocketAddress remoteAddress) {
        channel.pipeline().replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new ExchangeCodec());
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpRequest request) {
            responseExpected = true;
            noBodyExpected = HttpMethod.HEAD.equals(request.method());
        }
        super.write(context, message, promise);
    }

    private final class ResponseDecoder extends HttpResponseDecoder {

        private boolean responseIsFinal;
        private boolean isMalformed;
        private boolean dropsInterim;

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
            if (responseExpected) {
                super.decode(context, buffer, decoded);
                decoded.forEach(this::updateState);
                decoded.removeIf(this::isOfDroppedInterim);
                if (isMalformed) {
                    // Where the next response would start is not known.
                    context.close();
                }
            }
            if (!responseExpected && buffer.isReadable()) {
                // Closed before the end of the response is passed on, which would make the connection available.
                closeAtSurplus(context, buffer);
            }
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            StatusLines.checkStatus(initialLine[1]);
            return super.createMessage(initialLine);
        }

        private void updateState(Object message) {
            if (message instanceof HttpResponse response) {
                if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                    // No request asks for it; the decoder would pass on all further bytes undecoded.
                    response.setDecoderResult(
                            DecoderResult.failure(new IllegalArgumentException("unexpected switch of the protocol")));
                }
                if (response.decoderResult().isSuccess() && StatusLines.hasSecond(response)) {
                    response.setDecoderResult(DecoderResult.failure(
                            new IllegalArgumentException("response head contains a second status line")));
                }
                responseIsFinal = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
            }
            if (message instanceof LastHttpContent && responseIsFinal) {
                responseExpected = false;
            }
            isMalformed |=
                    message instanceof HttpObject part && part.decoderResult().isFailure();
        }

        /** Whether a message is part of an interim response other than 100, which the client knows. */
        private boolean isOfDroppedInterim(Object message) {
            if (message instanceof HttpResponse response) {
                dropsInterim = response.decoderResult().isSuccess()
                        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                        && response.status().code() != HttpResponseStatus.CONTINUE.code();
            }
            // The decoder gives an interim response no content, only an end.
            return dropsInterim && (message instanceof HttpResponse || message == LastHttpContent.EMPTY_LAST_CONTENT);
        }

        private void closeAtSurplus(ChannelHandlerContext context, ByteBuf surplus) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    () -> "connection to " + context.channel().remoteAddress() + " closed: " + surplus.readableBytes()
                            + " bytes received after a response");
            surplus.skipBytes(surplus.readableBytes());
            context.close();
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return noBodyExpected || super.isContentAlwaysEmpty(message);
        }
    }
}
