#pragma once

#include <map>
#include <string>

namespace fuchsiaquay {

/// Connection to the administration API.
class admin_channel {
public:
    struct call {
        std::string method;
        /// Path and query after `/admin/v1`.
        std::string path;
        std::string body;
        std::map<std::string, std::string> headers;
        /// True when the call may be repeated, so that it is sent to another node after a lost
        /// response.
        bool idempotent = true;
        /// Node to call; empty for the first that responds.
        std::string node;
    };
    struct response {
        /// 0 when no node responded.
        int status = 0;
        std::string body;
        /// Revision from the `ETag`; empty when there is none.
        std::string etag;
        /// True when the call was sent and may have taken effect, but no response arrived.
        bool in_doubt = false;
        /// Reason why no node responded.
        std::string failure;
    };

    admin_channel() = default;
    admin_channel(const admin_channel&) = delete;
    admin_channel& operator=(const admin_channel&) = delete;
    virtual ~admin_channel() = default;

    virtual response send(const call& call) = 0;
};

}  // namespace fuchsiaquay
