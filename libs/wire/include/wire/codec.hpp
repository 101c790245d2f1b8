#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include <msgpack.hpp>

#include <base/error.hpp>

/// std::chrono durations travel as whole milliseconds.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {
        template <>
        struct convert<std::chrono::milliseconds> {
            const msgpack::object& operator()(const msgpack::object& o, std::chrono::milliseconds& value) const
            {
                value = std::chrono::milliseconds(o.as<std::int64_t>());
                return o;
            }
        };

        template <>
        struct pack<std::chrono::milliseconds> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(
                msgpack::packer<Stream>& packer, const std::chrono::milliseconds& value) const
            {
                packer.pack_int64(value.count());
                return packer;
            }
        };
    } // namespace adaptor
}
} // namespace msgpack

/**
 * The coding of closed variants of plain structs, for frames between processes, log records and traces.
 *
 * A coded value is the alternative's number (a msgpack integer) followed by the struct as a msgpack array.
 * Alternatives are only ever appended to a variant, so that numbers keep their meaning; fields are only ever appended
 * to a struct, and a reader takes the default for those that an older writer did not send.
 */
namespace cuminledge::wire {

constexpr std::size_t maxFrameBytes = 8U << 20U;
constexpr std::size_t maxNesting = 32;

namespace detail {

    template <typename Variant, std::size_t Index = 0>
    bool convertAlternative(std::size_t index, const msgpack::object& object, Variant& value)
    {
        if constexpr (Index < std::variant_size_v<Variant>) {
            if (index == Index) {
                value = object.as<std::variant_alternative_t<Index, Variant>>();
                return true;
            }
            return convertAlternative<Variant, Index + 1>(index, object, value);
        } else {
            return false;
        }
    }

    inline msgpack::unpack_limit unpackLimit()
    {
        // Each element of an array or map takes one byte at least, so a frame's size bounds its element count; the
        // limits here keep a short frame from asking for a large allocation.
        constexpr std::size_t maxElements = 1U << 17U;
        return { maxElements, maxElements, maxFrameBytes, maxFrameBytes, 0, maxNesting };
    }

} // namespace detail

/// Codes one alternative of a variant. @return the bytes.
template <typename Variant>
std::string encodeVariant(const Variant& value)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([&packer](const auto& alternative) { packer.pack(alternative); }, value);
    return { buffer.data(), buffer.size() };
}

/**
 * Reads what encodeVariant() wrote.
 *
 * @param bytes anything at all: what is not a coded Variant is an error, never undefined behaviour.
 * @param step, peer what the error names.
 */
template <typename Variant>
result<Variant> decodeVariant(std::string_view bytes, const std::string& step, const std::string& peer)
{
    if (bytes.size() > maxFrameBytes) {
        return failure(error_code::TooLarge, "message over the size limit", step, peer);
    }
    try {
        std::size_t offset = 0;
        const auto limit = detail::unpackLimit();
        const auto index = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        const auto body = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        Variant value;
        if (offset != bytes.size() || !detail::convertAlternative(index.get().as<std::size_t>(), body.get(), value)) {
            return failure(error_code::Protocol, "unknown message kind or trailing bytes", step, peer);
        }
        return value;
    } catch (const std::exception& e) {
        return failure(error_code::Protocol, std::string("not a valid message: ") + e.what(), step, peer);
    }
}

/// Codes one plain struct that has MSGPACK_DEFINE.
template <typename Struct>
std::string encodeStruct(const Struct& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return { buffer.data(), buffer.size() };
}

/// Reads what encodeStruct() wrote; anything else is an error.
template <typename Struct>
result<Struct> decodeStruct(std::string_view bytes, const std::string& step, const std::string& peer)
{
    try {
        std::size_t offset = 0;
        const auto handle
            = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, detail::unpackLimit());
        if (offset != bytes.size()) {
            return failure(error_code::Protocol, "trailing bytes", step, peer);
        }
        return handle.get().as<Struct>();
    } catch (const std::exception& e) {
        return failure(error_code::Protocol, std::string("not a valid value: ") + e.what(), step, peer);
    }
}

} // namespace cuminledge::wire
