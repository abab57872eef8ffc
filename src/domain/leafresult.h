#pragma once

#include "domain/expected.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <utility>

namespace oriolerill::domain {

/// Converts a result for the LEAF handlers of this thread.
///
/// The Error is kept only inside a boost::leaf::try_handle_* scope that takes an Error.
template<class T>
boost::leaf::result<T> toLeaf(Expected<T> expected)
{
    if (!expected)
        return boost::leaf::new_error(expected.error());
    return std::move(*expected);
}

} // namespace oriolerill::domain
