#pragma once

#include <stdexcept>

namespace lagoonroute
{

/** Base of every exception that this library throws. */
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** A settings or configuration document is wrong; the message names the place, the value and what is allowed. */
class InvalidDocument : public Error
{
public:
    using Error::Error;
};

/** Bytes from the network could not be decoded. */
class MalformedMessage : public Error
{
public:
    using Error::Error;
};

/** A socket, listener or name could not be set up. */
class NetworkError : public Error
{
public:
    using Error::Error;
};

} // namespace lagoonroute
