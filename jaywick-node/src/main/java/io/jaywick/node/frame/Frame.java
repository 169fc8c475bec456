package io.jaywick.node.frame;

import io.jaywick.core.message.Message;

/**
 * One decoded frame.
 *
 * @param version protocol version in which it was written
 * @param id number by which a reply is matched to its request, unique per connection
 */
public record Frame(int version, long id, Message message) {}
