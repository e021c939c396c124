#pragma once

#include <map>
#include <string>

namespace fuchsiaquay {

/// Calls of the administration API from a console.
class admin_channel {
public:
    struct call {
        std::string method;
        /// Path and query after `/admin/v1`.
        std::string path;
        std::string body;
        std::map<std::string, std::string> headers;
        /// True: sending it twice does no harm, so another node is tried after a lost answer.
        bool idempotent = true;
        /// Node to ask; empty for the first that answers.
        std::string node;
    };
    struct response {
        /// 0 when no node answered.
        int status = 0;
        std::string body;
        /// Revision from the `ETag`; empty when there is none.
        std::string etag;
        /// True: the call was sent and may have taken effect although no answer came.
        bool in_doubt = false;
        /// Why no node answered.
        std::string failure;
    };

    admin_channel() = default;
    admin_channel(const admin_channel&) = delete;
    admin_channel& operator=(const admin_channel&) = delete;
    virtual ~admin_channel() = default;

    virtual response send(const call& wanted) = 0;
};

}  // namespace fuchsiaquay
