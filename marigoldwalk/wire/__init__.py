"""The protocol between daemons: thrift definitions, generated code and the codec."""
