#ifndef CORE_SHARED_BYTES_H
#define CORE_SHARED_BYTES_H

#include <concepts>
#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace jacinthshift {

/** An immutable string of bytes. Its copies share one buffer. */
class SharedBytes
{
    std::shared_ptr<const std::string> m_bytes; ///< Null if there are none.

public:
    SharedBytes() = default;
    // Conversions from and to strings are implicit, as both are sequences of bytes.
    SharedBytes(std::string bytes)
        : m_bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
    {
    }
    SharedBytes(std::string_view bytes) : SharedBytes(std::string(bytes)) {}
    SharedBytes(const char *text) : SharedBytes(std::string(text)) {}

    const std::string &string() const
    {
        static const std::string empty;
        return m_bytes == nullptr ? empty : *m_bytes;
    }
    operator const std::string &() const { return string(); }
    operator std::string_view() const { return string(); }

    bool empty() const { return m_bytes == nullptr; }
    std::size_t size() const { return string().size(); }
    const char *data() const { return string().data(); }

    template <typename Text>
    requires std::convertible_to<const Text &, std::string_view> &&(
            !std::same_as<Text, SharedBytes>)friend bool
    operator==(const SharedBytes &a, const Text &b)
    {
        return std::string_view(a.string()) == std::string_view(b);
    }
    friend bool operator==(const SharedBytes &a, const SharedBytes &b)
    {
        return a.m_bytes == b.m_bytes || a.string() == b.string();
    }
    friend std::ostream &operator<<(std::ostream &stream, const SharedBytes &bytes)
    {
        return stream << bytes.string();
    }
};

} // namespace jacinthshift

#endif // CORE_SHARED_BYTES_H
