#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: a\n\n";
}

}  // namespace

TEST_GROUP(request_relay_with_silent_upstream) {
    relay_fixture host_;
    manual_connector& upstream_ = host_.connector;
    recording_sink& caller_ = host_.sink;

    exchange_listener& first() {
        return *upstream_.attempts.front()->listener;
    }
    bool first_is_open() const {
        return upstream_.attempts.front()->open;
    }

    /// Serves a stream whose first upstream sends `count` events, one each 100 ms.
    void stream(int count) {
        host_.serve(host_.request("/chat/1"));
        upstream_.answer(200);
        for (int id = 1; id <= count; ++id) {
            upstream_.body(event(id));
            host_.timers.advance(milliseconds(100));
        }
    }
    /// No upstream but the one of the stream takes requests.
    void remove_other_engines() {
        for (const char* id : {"llm-1", "llm-2", "llm-3"}) {
            if (upstream_.attempts.front()->upstream.id != id) {
                host_.upstreams.on_changes({{{std::string("u/") + id, "", 3}, true}}, 3);
            }
        }
    }
};

// A stream older than the time after which callers abandon a silent request was never resumed: the
// time was counted from the arrival of the request, not from the last event.
TEST(request_relay_with_silent_upstream, old_broken_stream_resumes_at_another_upstream) {
    stream(30);
    first().on_failure({true, false, "reset"});
    LONGS_EQUAL(2, host_.attempts());
    LONGS_EQUAL(0, caller_.aborted);
}
