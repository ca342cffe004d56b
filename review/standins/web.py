"""Minimal HTTP/1.1 server and client on asyncio, for JSON bodies."""

import asyncio
import json

_CLIENT_TIMEOUT_S = 3.0


class Request:
    """Hold a request that was read in full."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def read_json(self):
        """Return the decoded body."""
        return json.loads(self.body)


async def serve(host, port, handle):
    """Serve requests; ``handle(request)`` returns status and body."""

    async def serve_connection(reader, writer):
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                code, body = await handle(request)
                content = b'' if body is None else json.dumps(body).encode()
                writer.write(
                    b'HTTP/1.1 %d Status\r\n'
                    b'Content-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (code, len(content))
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The script ends; nobody waits for an answer.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port)


async def call(address, method, path, body=None, headers=(), timeout_s=None):
    """Return status and JSON of the answer, or raise ``OSError``."""
    async with asyncio.timeout(timeout_s or _CLIENT_TIMEOUT_S):
        return await _call(address, method, path, body, headers)


async def _call(address, method, path, body, headers):
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        content = b'' if body is None else json.dumps(body).encode()
        lines = [f'{method} {path} HTTP/1.1']
        sent = {'Host': address, 'Content-Type': 'application/json'}
        sent.update(headers)
        lines.extend(f'{name}: {text}' for name, text in sent.items())
        lines.append(f'Content-Length: {len(content)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + content)
        await writer.drain()
        status = await reader.readline()
        if not status:
            raise ConnectionError('The connection ended without an answer.')
        found = await _read_headers(reader)
        answer = await reader.readexactly(int(found.get('content-length', 0)))
        return int(status.split()[1]), json.loads(answer or b'null')
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise ConnectionError(str(error)) from error
    finally:
        writer.close()


async def _read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, path, _ = line.decode().split()
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, path, headers, body)


async def _read_headers(reader):
    headers = {}
    while True:
        line = (await reader.readline()).decode('latin-1').strip()
        if not line:
            return headers
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
