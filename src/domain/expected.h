#pragma once

#include "domain/error.h"

#include <utility>
#include <variant>

namespace oriolerill::domain {

/// The result of an operation: a value or an Error. It may be passed between threads.
template<class T>
class Expected
{
public:
    /// Holds an internal error; coroutines need a default-constructible result.
    Expected()
        : m_state(std::in_place_index<1>)
    {}
    Expected(T value)
        : m_state(std::in_place_index<0>, std::move(value))
    {}
    Expected(Error error)
        : m_state(std::in_place_index<1>, std::move(error))
    {}

    bool hasValue() const { return m_state.index() == 0; }
    explicit operator bool() const { return hasValue(); }

    T &value() { return std::get<0>(m_state); }
    const T &value() const { return std::get<0>(m_state); }
    T &operator*() { return value(); }
    const T &operator*() const { return value(); }
    T *operator->() { return &value(); }
    const T *operator->() const { return &value(); }
    const Error &error() const { return std::get<1>(m_state); }

private:
    std::variant<T, Error> m_state;
};

/// Value type of operations that succeed without a value.
struct Done
{};

} // namespace oriolerill::domain
