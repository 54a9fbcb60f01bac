#ifndef CORE_SCOPE_GUARD_H
#define CORE_SCOPE_GUARD_H

#include <utility>

namespace jacinthshift {

/** Calls a function at the end of the scope, also after an early return or an exception. */
template <typename Function>
class ScopeGuard
{
    Function m_function;

public:
    explicit ScopeGuard(Function function) : m_function(std::move(function)) {}
    ~ScopeGuard() { m_function(); }
    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;
};

} // namespace jacinthshift

#endif // CORE_SCOPE_GUARD_H
