#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace lagoonroute
{

/**
 * Body of a request as a string that grows with what has been received.
 *
 * boost::beast::http::string_body reserves the declared length at once: a client could then occupy memory with headers alone.
 */
struct ReceivedBody
{
    using value_type = std::string;

    static std::uint64_t size(const value_type &body)
    {
        return body.size();
    }

    /** Appends received bytes to the body, as the parser of Boost.Beast requires. */
    class reader // NOLINT(readability-identifier-naming): the name that Boost.Beast requires
    {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> & /*length*/, boost::beast::error_code &error)
        {
            error = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            error = {};
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
            return boost::asio::buffer_size(buffers);
        }

        void finish(boost::beast::error_code &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
    };
};

} // namespace lagoonroute
