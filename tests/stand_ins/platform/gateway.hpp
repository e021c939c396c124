#pragma once

#include <cpprest/json.h>

#include <string>

#include "tests/stand_ins/platform/revision_store.hpp"

namespace fuchsiaquay::stand_ins {

/// Implements the JSON calls of the etcd v3 gateway on a `revision_store`. Not thread safe.
class gateway {
public:
    explicit gateway(revision_store& store) : store_(store) {}

    /// Executes the call at `path` ("/v3/kv/put" and so on). Throws if the path is unknown or
    /// the body lacks a field.
    web::json::value execute(const std::string& path, const web::json::value& body);

    static bool is_write(const std::string& path);

    web::json::value header() const;

    /// A watch result of the gateway with these events, as one line without its line end.
    std::string watch_line(const std::vector<store_event>& events) const;

    /// First line of a watch.
    std::string created_line() const;

private:
    web::json::value put(const web::json::value& body);
    web::json::value range(const web::json::value& body) const;
    web::json::value erase(const web::json::value& body);
    web::json::value transact(const web::json::value& body);
    web::json::value operation(const web::json::value& op);
    bool holds(const web::json::value& compare) const;

    revision_store& store_;
};

/// Decoded base64 text field; empty if it is absent.
std::string bytes_field(const web::json::value& object, const std::string& name);

}  // namespace fuchsiaquay::stand_ins
