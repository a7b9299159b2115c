package org.tamarackline.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Packs and unpacks the bytes of records, which are MessagePack. */
final class RecordFormat {

    private RecordFormat() {}

    interface Body {
        void write(MessageBufferPacker packer) throws IOException;
    }

    interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    static byte[] pack(Body body) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            body.write(packer);
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new UncheckedIOException("packing into a memory buffer failed", failure);
        }
    }

    static <T> T unpack(String key, byte[] bytes, Reader<T> reader) throws CorruptRecordException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException failure) {
            throw new CorruptRecordException(key, failure);
        }
    }

    static void check(boolean valid, String failure) {
        if (!valid) {
            throw new IllegalArgumentException(failure);
        }
    }

    /** Unpacks the name of a constant; the message of a failure contains nothing of the record. */
    static <E extends Enum<E>> E unpackConstant(MessageUnpacker in, E[] constants) throws IOException {
        String name = in.unpackString();
        for (E constant : constants) {
            if (constant.name().equals(name)) {
                return constant;
            }
        }
        throw new IllegalArgumentException("the name of a constant is not known");
    }
}
