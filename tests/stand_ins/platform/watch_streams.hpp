#pragma once

#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <list>
#include <string>

#include "tests/stand_ins/platform/gateway.hpp"

namespace fuchsiaquay::stand_ins {

/// Open watches of the gateway. Not thread safe.
class watch_streams {
public:
    watch_streams(revision_store& store, const gateway& calls) : store_(store), calls_(calls) {}

    /// Answers a watch request with a stream that stays open.
    void open(const web::http::http_request& request, const web::json::value& body);

    /// Sends each watch the events that it has not received yet.
    void deliver();

    /// Ends every stream, as an outage does.
    void close_all();

    std::size_t count() const { return watches_.size(); }

private:
    struct watch {
        std::string key;
        std::string range_end;
        std::int64_t next_revision = 0;
        concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer;
    };

    revision_store& store_;
    const gateway& calls_;
    std::list<watch> watches_;
};

}  // namespace fuchsiaquay::stand_ins
