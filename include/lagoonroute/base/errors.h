#pragma once

#include <stdexcept>

namespace lagoonroute
{

/** Base class of all exceptions that this library throws. */
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** A settings or configuration document is invalid. The message names the document path, the value and the allowed values. */
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

/** A socket or listener could not be set up, or a network request failed. */
class NetworkError : public Error
{
public:
    using Error::Error;
};

} // namespace lagoonroute
