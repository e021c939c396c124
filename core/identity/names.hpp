#pragma once

/// @file
/// The identifier kinds of the project.

#include "core/identity/identifier.hpp"

namespace fuchsiaquay {

/// An entry host and the node that runs on it.
using host_id = identifier<struct host_kind>;
/// A data centre.
using data_centre_id = identifier<struct data_centre_kind>;
/// A customer, the holder of a contract.
using customer_id = identifier<struct customer_kind>;
/// An upstream: a model engine or a plain service replica.
using upstream_id = identifier<struct upstream_name_kind>;
/// A model that engines serve.
using model_id = identifier<struct model_kind>;
/// A plain service that is routed to by name.
using service_id = identifier<struct service_kind>;
/// One request of a caller, unique in the fleet.
using request_id = identifier<struct request_kind>;
/// A grant of an upstream's memory. It is also the stream id at the engine.
using grant_id = identifier<struct grant_kind>;

}  // namespace fuchsiaquay
