#pragma once

#include "transport/httpmessage.h"

#include <boost/beast/http/fields.hpp>

namespace oriolerill::transport::internal {

inline HttpFields fromBeast(const boost::beast::http::fields &source)
{
    HttpFields fields;
    for (const auto &field : source)
        fields.add(std::string(field.name_string()), std::string(field.value()));
    return fields;
}

inline void copyToBeast(const HttpFields &source, boost::beast::http::fields &target)
{
    for (const HttpField &field : source)
        target.insert(field.name, field.value);
}

} // namespace oriolerill::transport::internal
