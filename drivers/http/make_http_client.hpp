#pragma once

/// @file
/// Includes cpprestsdk headers; include only in .cpp files.

#include <cpprest/http_client.h>

#include <memory>
#include <string>

namespace fuchsiaquay {

/// Creates a client whose requests fail with `http_exception` if the status of the response is
/// invalid. The library passes on any number.
std::shared_ptr<web::http::client::http_client> make_http_client(
    const std::string& uri, const web::http::client::http_client_config& config);

}  // namespace fuchsiaquay
