package io.jaywick.node.frame;

/** First bytes of MessagePack values. Formats whose length has one, two or four bytes follow each other. */
final class MessagePackFormat {

    static final int SHORT_MAP = 0x80;
    static final int SHORT_LIST = 0x90;
    static final int SHORT_TEXT = 0xa0;
    static final int NIL = 0xc0;
    static final int FALSE = 0xc2;
    static final int TRUE = 0xc3;
    static final int BYTES_8 = 0xc4;
    static final int BYTES_16 = 0xc5;
    static final int BYTES_32 = 0xc6;
    static final int DECIMAL_32 = 0xca;
    static final int DECIMAL_64 = 0xcb;
    static final int UNSIGNED_8 = 0xcc;
    static final int UNSIGNED_16 = 0xcd;
    static final int UNSIGNED_32 = 0xce;
    static final int UNSIGNED_64 = 0xcf;
    static final int SIGNED_8 = 0xd0;
    static final int SIGNED_16 = 0xd1;
    static final int SIGNED_32 = 0xd2;
    static final int SIGNED_64 = 0xd3;
    static final int TEXT_8 = 0xd9;
    static final int TEXT_16 = 0xda;
    static final int TEXT_32 = 0xdb;
    static final int LIST_16 = 0xdc;
    static final int LIST_32 = 0xdd;
    static final int MAP_16 = 0xde;
    static final int MAP_32 = 0xdf;

    private MessagePackFormat() {}
}
