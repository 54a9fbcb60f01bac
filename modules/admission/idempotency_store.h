#ifndef MODULES_ADMISSION_IDEMPOTENCY_STORE_H
#define MODULES_ADMISSION_IDEMPOTENCY_STORE_H

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "servers/http_message.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct IdempotencyStoreOptions
{
    std::chrono::milliseconds retention{600'000}; ///< Retention of a key, from its first request.
    std::size_t maxKeys = 100'000;
    std::size_t maxBytes = 32 * 1024 * 1024; ///< Size of all stored answer bodies.
};

/** State of the request with an idempotency key. */
enum class KeyState {
    New,     ///< The key was unknown and is now stored as running.
    Running, ///< The request is running or its outcome is unknown. It must not run again.
    Done,    ///< The request ran; its stored answer may be returned again.
    Moved,   ///< The key was handed over to another node, which decides on it.
    Full,    ///< The key is unknown and the storage is full.
};

/** Stores requests by their idempotency keys so that none runs twice. */
class IdempotencyStore
{
    struct Entry
    {
        bool done = false;
        bool moved = false;
        HttpResponse response;
    };
    struct Expiry
    {
        std::string key;
        SteadyTime at;
    };

    IdempotencyStoreOptions m_options;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<Expiry> m_expiries;
    std::size_t m_answerBytes = 0;

    void expire(SteadyTime now);
    void removeKey(const std::string &key);

public:
    explicit IdempotencyStore(const IdempotencyStoreOptions &options) : m_options(options) {}

    /** Returns the state of a key. Stores an unknown key as running, unless the store is full. */
    KeyState begin(const std::string &key, SteadyTime now);
    /**
     * Marks a key that is unknown here as handed over to another node. Returns New the first time
     * and Moved afterwards. A known key stays here, and its state is returned.
     */
    KeyState handOver(const std::string &key, SteadyTime now);
    /** Marks the request as done and stores its answer; does nothing if the key is unknown. */
    void finish(const std::string &key, const HttpResponse &response);
    /** Removes a key whose request certainly did not run. */
    void release(const std::string &key) { removeKey(key); }
    /** Returns the stored answer of a key in state Done. */
    const HttpResponse &answer(const std::string &key) const;
};

} // namespace jacinthshift

#endif // MODULES_ADMISSION_IDEMPOTENCY_STORE_H
