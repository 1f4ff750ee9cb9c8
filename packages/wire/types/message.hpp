#ifndef ENDIVEWARD_WIRE_TYPES_MESSAGE_HPP
#define ENDIVEWARD_WIRE_TYPES_MESSAGE_HPP

#include "wire/types/cache_change.hpp"
#include "wire/types/call_end.hpp"
#include "wire/types/cancel.hpp"
#include "wire/types/chunk.hpp"
#include "wire/types/chunk_ack.hpp"
#include "wire/types/config_request.hpp"
#include "wire/types/config_update.hpp"
#include "wire/types/draining.hpp"
#include "wire/types/engine_state.hpp"
#include "wire/types/fact_report.hpp"
#include "wire/types/gossip.hpp"
#include "wire/types/heartbeat.hpp"
#include "wire/types/hello.hpp"
#include "wire/types/invoke.hpp"
#include "wire/types/limit_report.hpp"
#include "wire/types/origin_answer.hpp"
#include "wire/types/origin_query.hpp"
#include "wire/types/part_report.hpp"
#include "wire/types/resume.hpp"
#include "wire/types/stream_origin.hpp"
#include "wire/types/table_request.hpp"
#include "wire/types/table_rows.hpp"
#include "wire/types/verdict.hpp"

#include <variant>

namespace endiveward::wire
{

/// Any message between two processes of endiveward.
using message =
    std::variant<hello, heartbeat, invoke, verdict, chunk, call_end, chunk_ack,
                 cancel, resume, config_request, config_update, draining,
                 gossip, engine_state, cache_change, table_request, table_rows,
                 part_report, limit_report, stream_origins, origin_query,
                 origin_answer, fact_report>;

} // namespace endiveward::wire

#endif
