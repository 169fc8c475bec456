package io.jaywick.node.frame;

import io.jaywick.core.message.Message;

/**
 * One decoded frame.
 *
 * @param version protocol version in which the frame is encoded
 * @param id identifier that matches a reply to its request, unique per connection
 */
public record Frame(int version, long id, Message message) {}
