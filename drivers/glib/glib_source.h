#ifndef DRIVERS_GLIB_GLIB_SOURCE_H
#define DRIVERS_GLIB_GLIB_SOURCE_H

#include <utility>

#include <glib.h>

namespace jacinthshift {

/** Owns a source on the default main context and removes it when destroyed. */
class GlibSource
{
    GSource *m_source = nullptr;

public:
    GlibSource() = default;
    /** Takes ownership of a reference to a source and attaches the source. */
    explicit GlibSource(GSource *source) : m_source(source) { g_source_attach(source, nullptr); }
    GlibSource(GlibSource &&other) noexcept : m_source(std::exchange(other.m_source, nullptr)) {}
    GlibSource &operator=(GlibSource &&other) noexcept
    {
        if (this != &other) {
            reset();
            m_source = std::exchange(other.m_source, nullptr);
        }
        return *this;
    }
    GlibSource(const GlibSource &) = delete;
    GlibSource &operator=(const GlibSource &) = delete;
    ~GlibSource() { reset(); }

    bool isActive() const { return m_source != nullptr; }

    void reset()
    {
        GSource *source = std::exchange(m_source, nullptr);
        if (source == nullptr)
            return;
        g_source_destroy(source);
        g_source_unref(source);
    }
};

} // namespace jacinthshift

#endif // DRIVERS_GLIB_GLIB_SOURCE_H
