#ifndef DRIVERS_GLIB_GOBJECT_POINTER_H
#define DRIVERS_GLIB_GOBJECT_POINTER_H

#include <memory>

#include <glib-object.h>

namespace jacinthshift {

/** Releases one reference to a GObject. */
struct GObjectUnref
{
    void operator()(gpointer object) const { g_object_unref(object); }
};

/** Owns one reference to a GObject. */
template <typename T>
using GObjectPointer = std::unique_ptr<T, GObjectUnref>;

/** Frees a GError. */
struct GErrorFree
{
    void operator()(GError *error) const { g_error_free(error); }
};

/** Owns a GError. */
using GErrorPointer = std::unique_ptr<GError, GErrorFree>;

} // namespace jacinthshift

#endif // DRIVERS_GLIB_GOBJECT_POINTER_H
