package io.jaywick.node.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Serves small pages about the node over HTTP/1.1 to {@code GET} requests, each by its exact path. It consists of the
 * parts that the relay loads anyway, which makes a start of the node cheaper than a general HTTP server.
 */
public final class StatusServer implements AutoCloseable {

    private final Map<String, Supplier<Page>> pages;
    private final Channel channel;

    /** Content of a page at the time of a request. */
    public record Page(int status, String contentType, String text) {}

    /**
     * Binds the server.
     *
     * @param loop event loop on which the pages are made
     * @param pages page for each path
     */
    public StatusServer(EventLoop loop, InetSocketAddress address, Map<String, Supplier<Page>> pages) {
        this.pages = Map.copyOf(pages);
        this.channel = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accepted.pipeline()
                                .addLast(new HttpRequestDecoder(), new HttpResponseEncoder(), new RequestHandler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Answers the requests of one connection; the next one is decoded after the response to the one before. */
    private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest request;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                write(context, new Page(HttpResponseStatus.BAD_REQUEST.code(), null, ""), false);
                return;
            }
            if (message instanceof HttpRequest started) {
                request = started;
            }
            if (message instanceof LastHttpContent && request != null) {
                write(context, page(request), HttpUtil.isKeepAlive(request));
                request = null;
            }
        }

        private Page page(HttpRequest served) {
            int query = served.uri().indexOf('?');
            String path = query < 0 ? served.uri() : served.uri().substring(0, query);
            Supplier<Page> page = served.method().equals(HttpMethod.GET) ? pages.get(path) : null;
            return page == null ? new Page(HttpResponseStatus.NOT_FOUND.code(), null, "") : page.get();
        }

        private void write(ChannelHandlerContext context, Page page, boolean keepAlive) {
            byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(body));
            HttpUtil.setContentLength(response, body.length);
            if (page.contentType() != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
            }
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            var written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }
}
